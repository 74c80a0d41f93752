package zonehealth

import "slices"

// appendMissing appends an element if the slice does not contain it.
func appendMissing[T comparable](all []T, element T) []T {
	if slices.Contains(all, element) {
		return all
	}
	return append(all, element)
}

// union appends to a the elements of b that a does not contain.
func union(a, b []uint32) []uint32 {
	for _, element := range b {
		a = appendMissing(a, element)
	}
	return a
}
