// Package tshostile tests the processes gateway and entry against callers that nobody controls:
// bodies that stop just short of their end or come slowly, chunked bodies without a length, bodies
// over the limit, requests that are sent ahead, and connections that send nothing. The tests start
// the built binary beside a stand-in store and stand-in backend servers on loopback addresses, and
// measure the memory and the descriptors of the process. A soak mixes the crowds with stops, kills
// and changes, by a seed.
//
// # Usage
//
//	go test -count=1 ./load/tshostile
//	go test -count=1 -timeout 60m -v -run TestSoak ./load/tshostile -args -soak-seed 1 -soak-runs 50
package tshostile
