// Package repeats finds responses that a server has sent a second time.
//
// HTTP/1.1 responses carry no request identifier, so a late copy of a response is taken for the
// response to the next request on its connection. A copy shows by its contents if the server's
// responses are otherwise different from each other, which the Detector learns from the responses
// themselves: it suspects nothing until it has seen enough different ones, nor while equal ones
// arrive on different connections, where they can't be copies. Equal requests usually have equal
// responses, which are suspect only where such requests have had different ones before.
//
// The package is pure. It neither reads nor closes connections (package upstream does).
package repeats
