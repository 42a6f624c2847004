// Package mesh brings up the Gota Justa mesh in small within one process: four
// services in a chain, one instance of each in every failure domain, and a
// node for each instance. The nodes are those of a [System]: magnoliawall's or
// the naive version, so that both carry the same load.
//
// # Usage
//
//	mesh := &mesh.Mesh{Design: mesh.GotaJusta(), System: &mesh.Naive{}, Seed: 1}
//	if err := mesh.Start(ctx); err != nil {
//		return err
//	}
//	defer mesh.Stop()
package mesh

import (
	_ "embed"
	"time"

	"github.com/magnoliawall/magnoliawall/internal/request"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/load"
	"github.com/magnoliawall/magnoliawall/magnolia-load/internal/target"
)

//go:embed gota-justa.jsonc
var gotaJustaText []byte

// Service is a service of a mesh with its stand-in targets.
type Service struct {
	Name        request.ServiceName
	Slots       int
	Connections int
	Behaviours  []target.Behaviour
}

// Design is the shape of a mesh and of its usual load.
type Design struct {
	// Text is the configuration.
	Text     []byte
	Places   []request.Place
	Services []Service
	Kinds    []load.Kind
	// Deepest is the service at the end of the chain, and DeepTime its mean
	// service time.
	Deepest  request.ServiceName
	DeepTime time.Duration
}

// DeepCapacity gives the calls a second that all targets of the deepest
// service can answer when their service times are slowness times longer.
func (design Design) DeepCapacity(slowness float64) float64 {
	for _, service := range design.Services {
		if service.Name == design.Deepest {
			slots := service.Slots * len(design.Places)
			return float64(slots) / (design.DeepTime.Seconds() * slowness)
		}
	}
	return 0
}

const (
	upperSlots       = 20
	upperConnections = 160
	deepSlots        = 6
	deepConnections  = 96
	upperTime        = 5 * time.Millisecond
	deepTime         = 150 * time.Millisecond
	smallAnswer      = 1 << 10
	listAnswer       = 8 << 10
	photoSize        = 200 << 10
	fileSize         = 4 << 10
)

// GotaJusta is the Gota Justa Home Visit Mesh in small: three regions of two
// failure domains, and the chain agenda, subsidios, evidencia, consumo.
func GotaJusta() Design {
	return Design{
		Text:     gotaJustaText,
		Places:   gotaJustaPlaces(),
		Services: []Service{agenda(), subsidios(), evidencia(), consumo()},
		Kinds:    gotaJustaKinds(),
		Deepest:  "consumo",
		DeepTime: deepTime,
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
	readings    = target.Call{Service: "consumo", Method: "GET", Path: "/members/7/readings"}
	listPhotos  = target.Call{Service: "evidencia", Method: "GET", Path: "/claims/7/photos"}
	eligibility = target.Call{Service: "subsidios", Method: "GET", Path: "/members/7/eligibility"}
)

func upper(name request.ServiceName, behaviours ...target.Behaviour) Service {
	for index := range behaviours {
		behaviours[index].Timing = target.Timing{Mean: upperTime}
	}
	return Service{Name: name, Slots: upperSlots, Connections: upperConnections, Behaviours: behaviours}
}

func agenda() Service {
	return upper(
		"agenda",
		target.Behaviour{Kind: "agenda/checklist", Pattern: "GET /visits/{id}/checklist", AnswerSize: listAnswer, Calls: []target.Call{eligibility}},
		target.Behaviour{Kind: "agenda/day", Pattern: "GET /technicians/{id}/day", AnswerSize: listAnswer, Calls: []target.Call{readings}},
		target.Behaviour{Kind: "agenda/book", Pattern: "POST /visits", Repeat: request.Once, AnswerSize: smallAnswer},
	)
}

func subsidios() Service {
	return upper(
		"subsidios",
		target.Behaviour{Kind: "subsidios/eligibility", Pattern: "GET /members/{id}/eligibility", AnswerSize: smallAnswer, Calls: []target.Call{listPhotos}},
		target.Behaviour{Kind: "subsidios/file", Pattern: "POST /requests", Repeat: request.Once, AnswerSize: smallAnswer, Calls: []target.Call{listPhotos}},
	)
}

func evidencia() Service {
	return upper(
		"evidencia",
		target.Behaviour{Kind: "evidencia/list-photos", Pattern: "GET /claims/{claim}/photos", AnswerSize: listAnswer, Calls: []target.Call{readings}},
		target.Behaviour{Kind: "evidencia/photo", Pattern: "PUT /claims/{claim}/photos/{name}", AnswerSize: smallAnswer},
	)
}

func consumo() Service {
	return Service{
		Name: "consumo", Slots: deepSlots, Connections: deepConnections,
		Behaviours: []target.Behaviour{
			{Kind: "consumo/readings", Pattern: "GET /members/{id}/readings", AnswerSize: listAnswer, Timing: target.Timing{Mean: deepTime}},
		},
	}
}

func gotaJustaKinds() []load.Kind {
	return []load.Kind{
		{Name: "subsidios/file", Service: "subsidios", Method: "POST", Path: "/requests", Repeat: request.Once, Rate: 20, Patience: 4 * time.Second, BodySize: fileSize, Deep: 1},
		{Name: "agenda/book", Service: "agenda", Method: "POST", Path: "/visits", Repeat: request.Once, Rate: 20, Patience: 4 * time.Second, BodySize: smallAnswer},
		{Name: "evidencia/photo", Service: "evidencia", Method: "PUT", Path: "/claims/7/photos/pit.jpg", Rate: 10, Patience: 4 * time.Second, BodySize: photoSize},
		{Name: "agenda/checklist", Service: "agenda", Method: "GET", Path: "/visits/7/checklist", Rate: 70, Patience: 2 * time.Second, Deep: 1},
		{Name: "consumo/readings", Service: "consumo", Method: "GET", Path: "/members/7/readings", Rate: 40, Patience: 1500 * time.Millisecond, Deep: 1},
		{Name: "agenda/day", Service: "agenda", Method: "GET", Path: "/technicians/7/day", Rate: 60, Patience: 2 * time.Second, Deep: 1},
	}
}
