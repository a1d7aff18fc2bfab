// Package linkset keeps one link duty per VM of a role, as the platform's list names them, so that a VM that does not
// answer delays no other.
package linkset

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/node/rpclink"
	"github.com/mangopass/mangopass/platform"
)

// refreshPeriod is the age at which the list of VMs is read again. The list lags by itself, so that reading it more often
// would cost calls and tell little.
const refreshPeriod = 2 * time.Second

// Carry sends one value over a link. It runs on the link's duty and has to bound each call in time.
type Carry[T any] func(ctx context.Context, vm platform.VM, link *rpclink.Link, value T)

// Set is the links from one process to the VMs of a role. One duty owns it.
type Set[T any] struct {
	duties *duty.Group
	vms    platform.VMList
	role   platform.VMRole
	self   string
	carry  Carry[T]

	peers map[string]*peer[T] // by VM id
	next  time.Time           // when the list is read again
}

// peer is one VM and the values that wait for its link duty.
type peer[T any] struct {
	vm     platform.VM
	values *ring.Ring[T]
}

// New returns an empty set. The VM named self is left out; link duties are started in the group.
func New[T any](duties *duty.Group, vms platform.VMList, role platform.VMRole, self string, carry Carry[T]) *Set[T] {
	return &Set[T]{
		duties: duties, vms: vms, role: role, self: self, carry: carry,
		peers: make(map[string]*peer[T]),
	}
}

// Refresh starts and ends link duties so that they match the platform's list, if it has not been read for a while. An
// outage of the list keeps the links.
func (s *Set[T]) Refresh(ctx context.Context, now time.Time) {
	if now.Before(s.next) {
		return
	}
	s.next = now.Add(refreshPeriod)
	list, o := s.vms.VMs(ctx)
	if o != platform.Applied {
		return
	}
	listed := make(map[string]bool)
	for _, vm := range list {
		if vm.Role != s.role || vm.ID == s.self {
			continue
		}
		listed[vm.ID] = true
		if known := s.peers[vm.ID]; known == nil || known.vm.Control != vm.Control {
			s.end(vm.ID)
			s.start(vm)
		} else {
			known.vm = vm
		}
	}
	for id := range s.peers {
		if !listed[id] {
			s.end(id)
		}
	}
}

// VMs returns the VMs that have a link.
func (s *Set[T]) VMs() []platform.VM {
	list := make([]platform.VM, 0, len(s.peers))
	for _, p := range s.peers {
		list = append(list, p.vm)
	}
	return list
}

// Send hands a value to the link of a VM. It is false if there is none or if the link is still busy with an earlier
// value.
func (s *Set[T]) Send(id string, value T) bool {
	p := s.peers[id]
	return p != nil && p.values.TryPush(value)
}

// Broadcast hands a value to all links that are not busy.
func (s *Set[T]) Broadcast(value T) {
	for _, p := range s.peers {
		p.values.TryPush(value)
	}
}

func (s *Set[T]) start(vm platform.VM) {
	values := ring.New[T]("link "+vm.ID, 1)
	s.peers[vm.ID] = &peer[T]{vm: vm, values: values}
	s.duties.Go("link "+vm.ID, func(ctx context.Context) {
		link := rpclink.New(vm.Control)
		defer link.Close()
		for {
			value, err := values.Pop(ctx)
			if err != nil {
				return
			}
			s.carry(ctx, vm, link, value)
		}
	})
}

func (s *Set[T]) end(id string) {
	if p := s.peers[id]; p != nil {
		p.values.Close()
		delete(s.peers, id)
	}
}
