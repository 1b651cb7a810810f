// Package tshostile tests gateway processes against callers that nobody controls: bodies that
// stop just short of their end, chunked bodies without a length, bodies over the limit, and
// connections that send nothing. The tests start the built binary beside a stand-in store and a
// stand-in backend server on loopback addresses, and measure the memory and the descriptors of
// the process.
//
// # Usage
//
//	go test -count=1 ./load/tshostile
package tshostile
