// Package web is the HTTP side of a node: towards callers and the local target,
// with net/http on both sides. It turns refusals into problem documents (RFC
// 9457), reads and writes traceparent (W3C Trace Context), and sends a call to
// the local target at most once.
//
// # Usage
//
//	client := &web.TargetClient{Address: "127.0.0.1:8080", Connections: 400}
//	client.Start()
//	response, err := client.Send(ctx, call)
//
//	web.WriteRefusal(writer, web.NewRefusal(request.Overloaded, ""))
package web
