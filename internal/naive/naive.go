// Package naive is what each part of the system is compared with: it passes
// every call on, retries on any error at every hop, has no limit but the
// connection count and keeps no claims.
//
// # Usage
//
// Its types have the methods of the cores that they stand beside, so that a
// test or an experiment runs the same events through both:
//
//	gate := &naive.Gate{Connections: 400}
//	decision, notices := gate.Arrive(now, work, nil)
package naive
