package platform

import (
	"slices"
	"sync"
	"time"

	port "github.com/sloelift/sloelift/internal/platform"
)

// Machines is the machine list; changes become visible after a lag. It is safe for concurrent use.
type Machines struct {
	lag   time.Duration
	mutex sync.Mutex
	// versions holds the listings by creation time, oldest first; the first one is
	// served. Guarded by mutex.
	versions []datedListing
}

type datedListing struct {
	since   time.Time
	listing port.MachineListing
}

func newMachines(lag time.Duration, machines []port.Machine) *Machines {
	first := datedListing{listing: port.MachineListing{Version: 1, Machines: slices.Clone(machines)}}
	return &Machines{lag: lag, versions: []datedListing{first}}
}

// Set adds machine, or replaces the one with the same ID.
func (m *Machines) Set(machine port.Machine) {
	m.change(func(list []port.Machine) []port.Machine {
		return append(without(list, machine.ID), machine)
	})
}

// SetState changes the state of one machine; an unknown id is ignored.
func (m *Machines) SetState(id string, state port.MachineState) {
	m.change(func(list []port.Machine) []port.Machine {
		for index := range list {
			if list[index].ID == id {
				list[index].State = state
			}
		}
		return list
	})
}

// Remove removes a machine from the list.
func (m *Machines) Remove(id string) {
	m.change(func(list []port.Machine) []port.Machine { return without(list, id) })
}

// SetLag changes the lag of the list.
func (m *Machines) SetLag(lag time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.lag = lag
}

func without(list []port.Machine, id string) []port.Machine {
	return slices.DeleteFunc(list, func(machine port.Machine) bool { return machine.ID == id })
}

// change adds the next version; edit gets a copy of the last one that it may modify.
func (m *Machines) change(edit func([]port.Machine) []port.Machine) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	last := m.versions[len(m.versions)-1].listing
	next := port.MachineListing{Version: last.Version + 1, Machines: edit(slices.Clone(last.Machines))}
	m.versions = append(m.versions, datedListing{since: time.Now(), listing: next})
}

// list returns the newest version that is at least as old as the lag.
func (m *Machines) list() port.MachineListing {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	visible := time.Now().Add(-m.lag)
	for len(m.versions) > 1 && !m.versions[1].since.After(visible) {
		m.versions = m.versions[1:]
	}
	return m.versions[0].listing
}
