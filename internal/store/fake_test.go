package store_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

var errCrash = errors.New("crash")

// fault is how far the step that fails gets.
type fault int

const (
	before fault = iota
	halfway
	after
	faults
)

// survival is what is left of bytes and names that were not synced.
type survival int

const (
	nothing survival = iota
	everything
	half
	garbage
	survivals
)

// file is a file's content; its first synced bytes last.
type file struct {
	data   []byte
	synced int
}

// folderChange is a change of names that is not synced yet.
type folderChange struct {
	from, to string
	file     *file
}

// disk is a fake of port.Disk. It fails at one step and refuses all after it.
type disk struct {
	names   map[string]*file
	lasting map[string]*file
	changes []folderChange
	steps   int
	failAt  int
	fault   fault
}

func newDisk() *disk {
	return &disk{names: map[string]*file{}, lasting: map[string]*file{}, failAt: -1}
}

// step counts a step and tells how far it gets.
func (d *disk) step() (fault, error) {
	d.steps++
	switch {
	case d.failAt < 0 || d.steps < d.failAt:
		return after, nil
	case d.steps == d.failAt:
		return d.fault, errCrash
	}
	return before, errCrash
}

// crash loses what was not synced and makes the disk work again.
func (d *disk) crash(left survival) {
	kept := 0
	switch left {
	case everything:
		kept = len(d.changes)
	case half, garbage:
		kept = len(d.changes) / 2
	}
	d.commit(kept)
	d.names = maps.Clone(d.lasting)
	d.changes = nil
	for name, old := range d.names {
		d.names[name] = old.survivor(left)
	}
	d.lasting = maps.Clone(d.names)
	d.failAt = -1
	d.steps = 0
}

func (f *file) survivor(left survival) *file {
	data := slices.Clone(f.data)
	switch left {
	case nothing:
		data = data[:f.synced]
	case half:
		data = data[:f.synced+(len(data)-f.synced)/2]
	case garbage:
		for at := f.synced + (len(data)-f.synced)/3; at < len(data); at++ {
			data[at] = 0
		}
	}
	return &file{data, len(data)}
}

func (d *disk) commit(count int) {
	for _, change := range d.changes[:count] {
		delete(d.lasting, change.from)
		if change.to != "" {
			d.lasting[change.to] = change.file
		}
	}
	d.changes = d.changes[count:]
}

func (d *disk) List() ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil }

func (d *disk) Path(name string) string { return "folder/" + name }

func (d *disk) Read(name string) ([]byte, error) {
	if d.names[name] == nil {
		return nil, fmt.Errorf("%s is missing", name)
	}
	return slices.Clone(d.names[name].data), nil
}

func (d *disk) Append(name string, data []byte) error {
	reached, err := d.step()
	if reached == before {
		return err
	}
	if d.names[name] == nil {
		d.names[name] = &file{}
		d.changes = append(d.changes, folderChange{to: name, file: d.names[name]})
	}
	if reached == halfway {
		data = data[:len(data)/2]
	}
	d.names[name].data = append(d.names[name].data, data...)
	return err
}

func (d *disk) Truncate(name string, size int64) error {
	reached, err := d.step()
	if reached == after {
		d.names[name].data = d.names[name].data[:size]
		d.names[name].synced = min(d.names[name].synced, int(size))
	}
	return err
}

func (d *disk) Sync(name string) error {
	reached, err := d.step()
	switch reached {
	case halfway:
		d.names[name].synced += (len(d.names[name].data) - d.names[name].synced) / 2
	case after:
		d.names[name].synced = len(d.names[name].data)
	}
	return err
}

func (d *disk) Rename(from, to string) error {
	reached, err := d.step()
	if reached == after {
		d.changes = append(d.changes, folderChange{from, to, d.names[from]})
		d.names[to] = d.names[from]
		delete(d.names, from)
	}
	return err
}

func (d *disk) Remove(name string) error {
	reached, err := d.step()
	if reached == after {
		d.changes = append(d.changes, folderChange{from: name})
		delete(d.names, name)
	}
	return err
}

func (d *disk) SyncFolder() error {
	reached, err := d.step()
	switch reached {
	case halfway:
		d.commit(len(d.changes) / 2)
	case after:
		d.commit(len(d.changes))
	}
	return err
}
