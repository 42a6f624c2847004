// Package web implements the HTTP protocol that a node uses towards callers and
// towards its local target. It turns refusals into problem documents (RFC 9457),
// reads and writes the traceparent header (W3C Trace Context), converts headers
// for the transport between nodes, and sends a call to the local target at most
// once.
//
// A [TargetClient] is safe for concurrent use after Start. It keeps a pool of
// HTTP/1.1 connections, each of which carries one call at a time.
//
// # Usage
//
//	client := &web.TargetClient{Address: "127.0.0.1:8080", Connections: 400}
//	client.Start()
//	response, err := client.Send(ctx, call)
//
//	web.WriteRefusal(writer, web.NewRefusal(request.Overloaded, ""))
package web
