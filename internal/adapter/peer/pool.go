package peer

import "sync"

var partPool = sync.Pool{New: func() any {
	part := make([]byte, BodyPart)
	return &part
}}
