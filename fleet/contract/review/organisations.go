package review

import (
	"fmt"
	"strconv"

	"github.com/mangopass/mangopass/fleet/contract"
)

// holder is the organisation and the place in its list at which a key was first found.
type holder struct {
	organisation, key int // counted from zero
	name              contract.OrganisationName
}

// reviewOrganisations checks the organisations, their keys and limits.
func reviewOrganisations(d *contract.Draft, list *[]Finding) {
	names := make(map[contract.OrganisationName]int)
	keys := make(map[contract.KeyHash]holder)
	for i, o := range d.Organisations {
		f := findings{object: Organisation, index: i, list: list}
		if first, taken := names[o.Name]; taken {
			f.error(Name, fmt.Sprintf("%q is the name of organisation %d too, whose limit is ignored", o.Name, first))
		}
		names[o.Name] = i
		if o.Name == "" {
			f.error(Name, "is missing")
		}
		if len(o.Keys) == 0 {
			f.warning(Keys, "the organisation has no key; none of its members can call")
		}
		for j, k := range o.Keys {
			reviewKey(f, k, holder{i, j, o.Name}, keys)
		}
		if o.Priority != nil && *o.Priority < 0 {
			f.warning(Priority, "is negative; 0 is the most urgent")
		}
		reviewLimit(f, o.Limit)
	}
}

func reviewKey(f findings, k contract.KeyHash, at holder, keys map[contract.KeyHash]holder) {
	item := strconv.Itoa(at.key)
	if k == contract.HashKey("") {
		f.add(Error, Key, item, "is empty; a request without a key does not match it")
		return
	}
	first, taken := keys[k]
	switch {
	case !taken:
		keys[k] = at
	case first.organisation == at.organisation:
		f.add(Warning, Key, item, fmt.Sprintf("is the same as key %d", first.key))
	default:
		f.add(Error, Key, item, fmt.Sprintf("is the same as key %d of organisation %q; requests with it count for the last one that has it",
			first.key, first.name))
	}
}

func reviewLimit(f findings, l contract.Limit) {
	if l.PerSecond < 0 {
		f.error(Rate, "is negative")
	}
	if l.Burst < 0 {
		f.error(Burst, "is negative")
	}
	if l.PerSecond == 0 && l.Burst > 0 {
		f.warning(Burst, "has no effect: a rate of zero means no limit")
	}
	if !l.InTokens {
		if l.PlainTokens > 0 {
			f.warning(PlainTokens, "has no effect: the limit counts requests")
		}
		if l.PerSecond > 0 && l.Burst < 1 {
			f.error(Burst, fmt.Sprintf("%g is under one request", l.Burst))
		}
		return
	}
	if l.PerSecond > 0 && l.PlainTokens > l.Burst {
		f.error(PlainTokens, fmt.Sprintf("a request without token counts costs %g, over the burst of %g; it is never admitted", l.PlainTokens, l.Burst))
	}
	if l.PerSecond > 0 && l.PlainTokens <= 0 {
		f.warning(PlainTokens, "is missing; requests without token counts cost nothing")
	}
}
