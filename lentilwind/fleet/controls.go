package fleet

import (
	"hash/fnv"
	"slices"
)

// ControlsDigest identifies a list of control processes, whatever its order; 0 stands for no list.
type ControlsDigest uint64

// DigestControls returns the digest of a list of addresses.
func DigestControls(addresses []string) ControlsDigest {
	if len(addresses) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, address := range slices.Sorted(slices.Values(addresses)) {
		_, _ = h.Write([]byte(address)) // A hash never fails.
		_, _ = h.Write([]byte{0})
	}
	return ControlsDigest(h.Sum64() | 1)
}
