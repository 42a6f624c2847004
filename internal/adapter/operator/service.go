// Package operator implements the operators' API, its HTTP handler and its
// client. A request is a POST to /v1/VERB with a JSON document as its body; the
// response is a JSON document too. A replica answers from its ledger; a node
// without a replica forwards the request to one.
//
// A [Service] and a [Client] hold no state of their own: they are safe for
// concurrent use if the values in their fields are.
//
// # Usage
//
//	service := &operator.Service{Ledger: replica, Directory: directory, Replicas: replica}
//	http.Handle("POST /v1/{verb}", operator.Handler(service.Operate))
//
//	client := &operator.Client{Base: "http://127.0.0.1:7404", HTTP: http.DefaultClient}
//	status, err := operator.Call[operator.Status](ctx, client, operator.ViewStatus, nil)
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/adapter/control"
	"github.com/magnoliawall/magnoliawall/internal/configuration"
	"github.com/magnoliawall/magnoliawall/internal/port"
)

// Directory lists nodes and targets, and drains targets.
type Directory interface {
	Targets(ctx context.Context) ([]TargetRow, error)
	Domains(ctx context.Context, latest configuration.Version) ([]DomainRow, error)
	Drain(ctx context.Context, node NodeQuery) error
}

// ReplicaSet lists and replaces the members of the quorum.
type ReplicaSet interface {
	Replicas(ctx context.Context) (Replicas, error)
	ReplaceReplica(ctx context.Context, replacement Replacement) error
}

// Service carries out operator requests at a replica. The exported fields are
// set before the first use.
type Service struct {
	Ledger    control.Ledger
	Directory Directory
	Replicas  ReplicaSet
	// Now returns the current time, which is recorded with each new version.
	Now func() time.Time
}

// notFound is the error of a request for something that does not exist.
type notFound struct{ problem string }

// Error describes what was not found.
func (missing notFound) Error() string { return missing.problem }

// badRequest is the error of an invalid request.
type badRequest struct{ problem string }

// Error describes the problem.
func (invalid badRequest) Error() string { return invalid.problem }

type operation func(ctx context.Context, body []byte) (any, error)

// Operate carries out one request and returns the HTTP status and the JSON
// document of its response.
func (service *Service) Operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	run, ok := service.operations()[Verb(verb)]
	if !ok {
		return encodeAnswer(http.StatusNotFound, Failure{Error: "unknown request " + verb})
	}
	answer, err := run(ctx, body)
	if err != nil {
		return encodeAnswer(httpStatus(err), Failure{Error: err.Error(), InDoubt: errors.Is(err, port.ErrInDoubt)})
	}
	return encodeAnswer(http.StatusOK, answer)
}

func (service *Service) operations() map[Verb]operation {
	return map[Verb]operation{
		ViewConfiguration:  decodeAndRun(service.viewConfiguration),
		CheckConfiguration: decodeAndRun(service.checkConfiguration),
		CreatePatch:        decodeAndRun(service.createPatch),
		ViewPatch:          decodeAndRun(service.viewPatch),
		ListPatches:        decodeAndRun(service.listPatches),
		ListVersions:       decodeAndRun(service.listVersions),
		DiffVersions:       decodeAndRun(service.diffVersions),
		ListTargets:        decodeAndRun(service.listTargets),
		DrainTarget:        decodeAndRun(service.drainTarget),
		ViewStatus:         decodeAndRun(service.viewStatus),
		ListActions:        decodeAndRun(service.listActions),
		SettleAction:       decodeAndRun(service.settleAction),
		ListReplicas:       decodeAndRun(service.listReplicas),
		ReplaceReplica:     decodeAndRun(service.replaceReplica),
	}
}

// decodeAndRun returns an operation that decodes the request body and runs a
// function with it. Unknown fields are errors; an empty body is the zero request.
func decodeAndRun[Request, Answer any](run func(context.Context, Request) (Answer, error)) operation {
	return func(ctx context.Context, body []byte) (any, error) {
		var message Request
		if len(bytes.TrimSpace(body)) > 0 {
			decoder := json.NewDecoder(bytes.NewReader(body))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&message); err != nil {
				return nil, badRequest{fmt.Sprintf("decode the request: %v", err)}
			}
		}
		return run(ctx, message)
	}
}

func httpStatus(err error) int {
	unknown := notFound{}
	bad := badRequest{}
	switch {
	case errors.As(err, &unknown):
		return http.StatusNotFound
	case errors.As(err, &bad):
		return http.StatusBadRequest
	case errors.Is(err, port.ErrUnavailable), errors.Is(err, port.ErrInDoubt):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

func encodeAnswer(status int, answer any) (int, []byte) {
	body, err := json.Marshal(answer)
	if err != nil {
		return http.StatusInternalServerError, []byte(`{"error":"the response cannot be encoded"}`)
	}
	return status, body
}
