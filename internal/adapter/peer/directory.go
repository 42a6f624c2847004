package peer

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliawall/magnoliawall/internal/request"
)

// ReplicaPlace is where a replica of the control state listens.
type ReplicaPlace struct {
	Address Address
	Domain  request.DomainName
}

// Directory lists the replicas that a process knows. It starts with seed
// addresses and is updated with the list that any replica sends. The exported
// fields are set before the first use; the methods are safe for concurrent use.
type Directory struct {
	// Seeds are tried in this order. With Spread, SetSeeds sorts them by hash.
	Seeds []Address
	// Self and Domain are the node and the failure domain of this process. Learned
	// replicas of its failure domain come first.
	Self   request.NodeID
	Domain request.DomainName
	// SortByHash sorts addresses by their hash with Self, so that processes that share
	// their seeds do not all connect to the same replica.
	SortByHash bool

	lock    sync.Mutex
	learned []ReplicaPlace
}

// NewDirectory returns a directory whose only seed is address.
func NewDirectory(address Address) *Directory {
	return &Directory{Seeds: []Address{address}}
}

// List returns the addresses in the order in which to try them: learned replicas,
// then the seeds that are not among them.
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

// Replicas returns the addresses of the learned replicas, or those of the seeds if none
// is learned. Seeds that are no replicas any more are left out.
func (directory *Directory) Replicas() []Address {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	if len(directory.learned) == 0 {
		return slices.Clone(directory.Seeds)
	}
	list := make([]Address, 0, len(directory.learned))
	for _, place := range directory.learned {
		list = append(list, place.Address)
	}
	return list
}

// Learn replaces the learned replicas and reports whether they changed. An empty
// list is ignored. An address is learned once: while a lost disk is replaced, the group has two
// ids at one address, and a node that goes on to the next address has to get to another
// replica.
func (directory *Directory) Learn(places []ReplicaPlace) bool {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	sorted := slices.Clone(places)
	slices.SortStableFunc(sorted, func(left, right ReplicaPlace) int {
		return cmp.Or(directory.domainRank(left)-directory.domainRank(right), directory.compareAddresses(left.Address, right.Address))
	})
	var learned []ReplicaPlace
	for _, place := range sorted {
		known := func(other ReplicaPlace) bool { return other.Address == place.Address }
		if !slices.ContainsFunc(learned, known) {
			learned = append(learned, place)
		}
	}
	if len(learned) == 0 || slices.Equal(learned, directory.learned) {
		return false
	}
	directory.learned = learned
	return true
}

// SetSeeds replaces the seeds.
func (directory *Directory) SetSeeds(seeds []Address) {
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.Seeds = slices.Clone(seeds)
	if directory.SortByHash {
		slices.SortFunc(directory.Seeds, directory.compareAddresses)
	}
}

func (directory *Directory) domainRank(place ReplicaPlace) int {
	if place.Domain == directory.Domain {
		return 0
	}
	return 1
}

func (directory *Directory) compareAddresses(left, right Address) int {
	if !directory.SortByHash {
		return 0
	}
	return cmp.Compare(directory.hash(left), directory.hash(right))
}

func (directory *Directory) hash(address Address) uint64 {
	return xxhash.Sum64String(string(directory.Self) + "\x00" + string(address))
}
