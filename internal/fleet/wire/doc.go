// Package wire defines the encoding of messages between nodes: a header with magic bytes, version,
// fleet and checksum, followed by fields in the wire format of protocol buffers.
//
// Parsing accepts arbitrary input and allocates memory in proportion to its size: a message is
// returned only if all of it is valid, and each element of a list takes at least two bytes. A
// message of another version or fleet is distinguished from unrelated data, and rejected. Unknown
// fields are ignored.
//
// The package is pure and keeps no state. It must not interpret the contents of a message.
//
// Source: Protocol Buffers, "Encoding".
package wire
