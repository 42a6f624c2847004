// Package operator is what operators ask of the system, as JSON documents over
// HTTP: POST /v1/VERB with the request as body. A replica answers from the
// ledger; a node without one passes the request on.
//
// # Usage
//
//	service := &operator.Service{Ledger: replica, Directory: directory, Replicas: replica}
//	http.Handle("POST /v1/{verb}", operator.Handler(service.Operate))
//
//	client := &operator.Client{Base: "http://127.0.0.1:7404", HTTP: http.DefaultClient}
//	status, err := operator.Ask[operator.Status](ctx, client, operator.ViewStatus, nil)
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

// Directory tells of nodes and targets.
type Directory interface {
	Targets(ctx context.Context) ([]TargetRow, error)
	Domains(ctx context.Context, latest configuration.Version) ([]DomainRow, error)
	Drain(ctx context.Context, node NodeQuery) error
}

// ReplicaSet changes the members of the quorum.
type ReplicaSet interface {
	Replicas(ctx context.Context) (Replicas, error)
	ReplaceReplica(ctx context.Context, asked Replacement) error
}

// Service answers operators at a replica. The exported fields are set before
// the first use.
type Service struct {
	Ledger    control.Ledger
	Directory Directory
	Replicas  ReplicaSet
	// Now gives the time of day, which versions are marked with.
	Now func() time.Time
}

// notFound is an error that names something unknown.
type notFound struct{ what string }

// Error describes what is unknown.
func (found notFound) Error() string { return found.what }

// badRequest is an error of the request itself.
type badRequest struct{ problem string }

// Error describes the problem.
func (request badRequest) Error() string { return request.problem }

type operation func(ctx context.Context, body []byte) (any, error)

// Operate carries out one request and gives an HTTP status and a JSON document.
func (service *Service) Operate(ctx context.Context, verb string, body []byte) (int, []byte) {
	run, ok := service.operations()[Verb(verb)]
	if !ok {
		return encode(http.StatusNotFound, Failure{Error: "there is no request " + verb})
	}
	answer, err := run(ctx, body)
	if err != nil {
		return encode(statusOf(err), Failure{Error: err.Error(), InDoubt: errors.Is(err, port.ErrInDoubt)})
	}
	return encode(http.StatusOK, answer)
}

func (service *Service) operations() map[Verb]operation {
	return map[Verb]operation{
		ViewConfiguration:  handle(service.viewConfiguration),
		CheckConfiguration: handle(service.checkConfiguration),
		CreatePatch:        handle(service.createPatch),
		ViewPatch:          handle(service.viewPatch),
		ListPatches:        handle(service.listPatches),
		ListVersions:       handle(service.listVersions),
		DiffVersions:       handle(service.diffVersions),
		ListTargets:        handle(service.listTargets),
		DrainTarget:        handle(service.drainTarget),
		ViewStatus:         handle(service.viewStatus),
		ListActions:        handle(service.listActions),
		SettleAction:       handle(service.settleAction),
		ListReplicas:       handle(service.listReplicas),
		ReplaceReplica:     handle(service.replaceReplica),
	}
}

// handle reads the request strictly and runs it.
func handle[Request, Answer any](run func(context.Context, Request) (Answer, error)) operation {
	return func(ctx context.Context, body []byte) (any, error) {
		var message Request
		if len(bytes.TrimSpace(body)) > 0 {
			decoder := json.NewDecoder(bytes.NewReader(body))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&message); err != nil {
				return nil, badRequest{fmt.Sprintf("the request cannot be read: %v", err)}
			}
		}
		return run(ctx, message)
	}
}

func statusOf(err error) int {
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

func encode(status int, answer any) (int, []byte) {
	body, err := json.Marshal(answer)
	if err != nil {
		return http.StatusInternalServerError, []byte(`{"error":"the answer cannot be written"}`)
	}
	return status, body
}
