package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ReplicaPlace tells where a replica of the control state listens.
type ReplicaPlace struct {
	Address Address
	Domain  request.DomainName
}

// Directory lists the replicas that a process knows. It starts with seeds, and
// learns the present replicas from any one that answers. The exported fields
// are set before the first use.
type Directory struct {
	// Seeds are asked in this order, unless Spread is set.
	Seeds []Address
	// Self and Domain are of the process; learned replicas of its own failure
	// domain come first.
	Self   request.NodeID
	Domain request.DomainName
	// Spread orders the replicas by a hash with Self, so that the processes of
	// a site that share their seeds do not all go to the same one.
	Spread bool

	lock    sync.Mutex
	learned []ReplicaPlace
}

// At is the directory of a single address.
func At(address Address) *Directory {
	return &Directory{Seeds: []Address{address}}
}

// List gives the addresses in the order in which they are to be tried.
func (directory *Directory) List() []Address {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	list := make([]Address, 0, len(directory.learned)+len(directory.Seeds))
	for _, place := range directory.learned {
		list = append(list, place.Address)
	}
	for _, seed := range directory.Seeds {
		if !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	return list
}

// Learn replaces what was learned before, and tells whether it differs.
func (directory *Directory) Learn(places []ReplicaPlace) bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	sorted := slices.Clone(places)
	slices.SortStableFunc(sorted, func(left, right ReplicaPlace) int {
		return cmp.Or(directory.distance(left)-directory.distance(right), directory.compare(left.Address, right.Address))
	})
	if len(places) == 0 || slices.Equal(sorted, directory.learned) {
		return false
	}
	directory.learned = sorted
	return true
}

// SetSeeds replaces the seeds.
func (directory *Directory) SetSeeds(seeds []Address) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.Seeds = slices.Clone(seeds)
	if directory.Spread {
		slices.SortFunc(directory.Seeds, directory.compare)
	}
}

func (directory *Directory) distance(place ReplicaPlace) int {
	if place.Domain == directory.Domain {
		return 0
	}
	return 1
}

func (directory *Directory) compare(left, right Address) int {
	if !directory.Spread {
		return 0
	}
	return cmp.Compare(directory.weight(left), directory.weight(right))
}

func (directory *Directory) weight(address Address) uint64 {
	return xxhash.Sum64String(string(directory.Self) + "\x00" + string(address))
}
