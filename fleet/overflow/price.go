// Package overflow decides when a request leaves its zone for a target of another one, and how large a share of a zone's
// requests does. Traffic between zones is slow and paid by the byte, so a request leaves only for a wait that is worth
// its price; while the targets of a zone are busier than those of the others, a growing share of its requests leaves at
// a lower price. It does no I/O; the current time is always an argument.
package overflow

import (
	"time"

	"github.com/mangopass/mangopass/fleet/zone"
)

// Parameters of the price of a request between zones: the wait that must be saved to make leaving the zone pay.
const (
	// crossingPrice is the price of a request without its bytes, and bytePrice that of each KiB. A request of
	// ordinaryBytes costs ordinaryPrice.
	crossingPrice = 11 * time.Millisecond
	kibPrice      = time.Millisecond
	ordinaryBytes = 4 << 10
	ordinaryPrice = crossingPrice + ordinaryBytes>>10*kibPrice
	// maxBytesPrice bounds the price of the bytes, so that a large request does not wait in its zone until it is late.
	maxBytesPrice = 100 * time.Millisecond
	// regionFactor multiplies the price between zones of different regions.
	regionFactor = 2
	// tokenBytes is the size of a prompt token of a request whose body is not known, eventBytes that of an event with
	// one token of the answer. Answers use half of the tokens that they may have.
	tokenBytes = 4
	eventBytes = 32
)

// Size returns the number of bytes that a request is expected to take between zones: its body, or its prompt if the
// length of the body is not known, and its answer.
func Size(body, promptTokens, maxTokens int) int {
	if body == 0 {
		body = promptTokens * tokenBytes
	}
	return body + maxTokens*eventBytes/2
}

// Price returns the wait that a request of the given size must save to make leaving its zone pay.
func Price(zones zone.Map, from, to zone.ID, bytes int) time.Duration {
	if from == to {
		return 0
	}
	price := crossingPrice + min(maxBytesPrice, time.Duration(float64(max(0, bytes))/1024*float64(kibPrice)))
	if zones.Apart(from, to) {
		price *= regionFactor
	}
	return price
}
