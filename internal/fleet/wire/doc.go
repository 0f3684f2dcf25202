// Package wire is the form of the messages between nodes: fields of the protocol
// buffers' wire format behind a head of magic, version, fleet and checksum.
//
// Its job is to read whatever comes and to allocate no more than what came warrants: a
// message is decoded only if all of it makes sense, and each element of a list takes at
// least two bytes of it. A message of another version or fleet is told apart from noise, and
// is passed over. Fields that are not known are passed over too.
//
// It is pure, and keeps nothing. It must not judge what a message says.
//
// Source: Protocol Buffers, "Encoding".
package wire
