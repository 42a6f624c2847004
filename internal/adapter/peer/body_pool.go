package peer

import "sync"

var bodyPartPool = sync.Pool{New: func() any {
	part := make([]byte, MaxBodyPartBytes)
	return &part
}}
