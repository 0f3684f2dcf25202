// Package members connects package membership to the network: datagrams over UDP, longer
// messages over TCP at the same address, and a unix socket for operators' queries.
//
// The goroutine in Run owns the membership.Node, the budget allocator and the ticker. Readers
// and writers own only their sockets and pass messages on through bounded channels; a message
// that does not fit is dropped and counted. State that survives a restart is written by a
// separate goroutine, so that a slow disk delays nobody.
//
// The package also transports payloads of other packages, among them claims on the budgets of
// cold servers and the grants that answer them.
//
// It makes no membership decisions and knows nothing of requests. Traffic is not
// authenticated: whoever can send to its address can impersonate a member. It listens on
// loopback unless its settings name another address.
package members
