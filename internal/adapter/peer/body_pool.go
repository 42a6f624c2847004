package peer

import "sync"

var bodyPartPool = sync.Pool{New: func() any {
	part := make([]byte, BodyPart)
	return &part
}}
