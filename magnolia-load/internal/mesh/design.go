// Package mesh runs a scaled-down Gota Justa mesh on loopback: four services in a
// chain, one stand-in target of each in every failure domain, and a node for each
// target. A [System] provides the nodes: [Magnolia] runs magnoliawall's within
// this process, [Processes] runs them as processes of magnoliad, and [Naive] runs
// the naive version, so that all can carry the same load.
//
// Start and Stop are called from one goroutine. While the mesh runs, SetSlowdown
// and the callers may be used concurrently.
//
// # Usage
//
//	running := &mesh.Mesh{Design: mesh.GotaJusta(), System: &mesh.Naive{}, Seed: 1}
//	if err := running.Start(ctx); err != nil {
//		return err
//	}
//	defer running.Stop()
package mesh

import (
	_ "embed"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

//go:embed gota-justa.jsonc
var gotaJustaConfiguration []byte

// Service describes a service and its stand-in targets. Slots and MaxConnections
// apply to each target.
type Service struct {
	Name           request.ServiceName
	Slots          int
	MaxConnections int
	Behaviours     []target.Behaviour
}

// Design describes a mesh and its normal load.
type Design struct {
	// Configuration is the text of the initial configuration, as JSONC.
	Configuration []byte
	Places        []request.Place
	Services      []Service
	// ServicesPerPlace is how many targets a place has, of the services in turn, or zero
	// for one of each service.
	ServicesPerPlace int
	Kinds            []load.Kind
	// DeepestService is the service at the end of the call chain, and
	// DeepestServiceTime its mean service time.
	DeepestService     request.ServiceName
	DeepestServiceTime time.Duration
}

// servicesAt returns the services of the targets of a place.
func (design Design) servicesAt(place int) []Service {
	if design.ServicesPerPlace == 0 {
		return design.Services
	}
	var services []Service
	for offset := range design.ServicesPerPlace {
		services = append(services, design.Services[(place*design.ServicesPerPlace+offset)%len(design.Services)])
	}
	return services
}

// DeepestServiceCapacity returns the calls a second that all targets of the
// deepest service can answer when their service times are slowdown times longer.
func (design Design) DeepestServiceCapacity(slowdown float64) float64 {
	for _, service := range design.Services {
		if service.Name == design.DeepestService {
			slots := service.Slots * len(design.Places)
			return float64(slots) / (design.DeepestServiceTime.Seconds() * slowdown)
		}
	}
	return 0
}

const (
	upperSlots            = 20
	upperMaxConnections   = 160
	deepestSlots          = 6
	deepestMaxConnections = 96
	upperServiceTime      = 5 * time.Millisecond
	deepestServiceTime    = 150 * time.Millisecond
	smallAnswerBytes      = 1 << 10
	listAnswerBytes       = 8 << 10
	photoBytes            = 200 << 10
	subsidyRequestBytes   = 4 << 10
)

// GotaJusta returns the scaled-down Gota Justa Home Visit Mesh: three regions of
// two failure domains each, and the call chain agenda, subsidios, evidencia,
// consumo.
func GotaJusta() Design {
	return Design{
		Configuration:      gotaJustaConfiguration,
		Places:             gotaJustaPlaces(),
		Services:           []Service{agendaService(), subsidiosService(), evidenciaService(), consumoService()},
		Kinds:              gotaJustaKinds(),
		DeepestService:     "consumo",
		DeepestServiceTime: deepestServiceTime,
	}
}

func gotaJustaPlaces() []request.Place {
	return []request.Place{
		{Region: "norte", Domain: "norte-a"},
		{Region: "norte", Domain: "norte-b"},
		{Region: "litoral", Domain: "litoral-a"},
		{Region: "litoral", Domain: "litoral-b"},
		{Region: "sur", Domain: "sur-a"},
		{Region: "sur", Domain: "sur-b"},
	}
}

var (
	readingsCall    = target.Call{Service: "consumo", Method: "GET", Path: "/members/7/readings"}
	listPhotosCall  = target.Call{Service: "evidencia", Method: "GET", Path: "/claims/7/photos"}
	eligibilityCall = target.Call{Service: "subsidios", Method: "GET", Path: "/members/7/eligibility"}
)

func upperService(name request.ServiceName, behaviours ...target.Behaviour) Service {
	for index := range behaviours {
		behaviours[index].ServiceTime = target.ServiceTime{Mean: upperServiceTime}
	}
	return Service{Name: name, Slots: upperSlots, MaxConnections: upperMaxConnections, Behaviours: behaviours}
}

func agendaService() Service {
	return upperService(
		"agenda",
		target.Behaviour{Kind: "agenda/checklist", Pattern: "GET /visits/{id}/checklist", AnswerBytes: listAnswerBytes, Calls: []target.Call{eligibilityCall}},
		target.Behaviour{Kind: "agenda/day", Pattern: "GET /technicians/{id}/day", AnswerBytes: listAnswerBytes, Calls: []target.Call{readingsCall}},
		target.Behaviour{Kind: "agenda/book", Pattern: "POST /visits", Repeat: request.Once, AnswerBytes: smallAnswerBytes},
	)
}

func subsidiosService() Service {
	return upperService(
		"subsidios",
		target.Behaviour{Kind: "subsidios/eligibility", Pattern: "GET /members/{id}/eligibility", AnswerBytes: smallAnswerBytes, Calls: []target.Call{listPhotosCall}},
		target.Behaviour{Kind: "subsidios/file", Pattern: "POST /requests", Repeat: request.Once, AnswerBytes: smallAnswerBytes, Calls: []target.Call{listPhotosCall}},
	)
}

func evidenciaService() Service {
	return upperService(
		"evidencia",
		target.Behaviour{Kind: "evidencia/list-photos", Pattern: "GET /claims/{claim}/photos", AnswerBytes: listAnswerBytes, Calls: []target.Call{readingsCall}},
		target.Behaviour{Kind: "evidencia/photo", Pattern: "PUT /claims/{claim}/photos/{name}", AnswerBytes: smallAnswerBytes},
	)
}

func consumoService() Service {
	return Service{
		Name: "consumo", Slots: deepestSlots, MaxConnections: deepestMaxConnections,
		Behaviours: []target.Behaviour{
			{Kind: "consumo/readings", Pattern: "GET /members/{id}/readings", AnswerBytes: listAnswerBytes, ServiceTime: target.ServiceTime{Mean: deepestServiceTime}},
		},
	}
}

func gotaJustaKinds() []load.Kind {
	return []load.Kind{
		{Name: "subsidios/file", Service: "subsidios", Method: "POST", Path: "/requests", Repeat: request.Once, RatePerSecond: 20, AttemptTimeout: 4 * time.Second, BodyBytes: subsidyRequestBytes, DeepestServiceCalls: 1},
		{Name: "agenda/book", Service: "agenda", Method: "POST", Path: "/visits", Repeat: request.Once, RatePerSecond: 20, AttemptTimeout: 4 * time.Second, BodyBytes: smallAnswerBytes},
		{Name: "evidencia/photo", Service: "evidencia", Method: "PUT", Path: "/claims/7/photos/pit.jpg", RatePerSecond: 10, AttemptTimeout: 4 * time.Second, BodyBytes: photoBytes},
		{Name: "agenda/checklist", Service: "agenda", Method: "GET", Path: "/visits/7/checklist", RatePerSecond: 70, AttemptTimeout: 2 * time.Second, DeepestServiceCalls: 1},
		{Name: "consumo/readings", Service: "consumo", Method: "GET", Path: "/members/7/readings", RatePerSecond: 40, AttemptTimeout: 1500 * time.Millisecond, DeepestServiceCalls: 1},
		{Name: "agenda/day", Service: "agenda", Method: "GET", Path: "/technicians/7/day", RatePerSecond: 60, AttemptTimeout: 2 * time.Second, DeepestServiceCalls: 1},
	}
}
