// Package naive is the baseline that each part of the system is compared with. It
// forwards every call, retries on any error at every hop, has no limit but the
// number of connections and keeps no claims. [Node] is safe for concurrent use
// while it runs, the other types are not.
//
// # Usage
//
// The other types have the methods of the core types that they replace, so that a
// test or an experiment can run the same events through both:
//
//	gate := &naive.Gate{Connections: 400}
//	decision, notices := gate.Arrive(now, work, nil)
package naive
