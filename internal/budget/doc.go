// Package budget computes what a request may still spend in all tiers together: time, extra attempts,
// worth. A Budget travels down with each attempt; what was spent of it comes back with the response.
//
// The package is pure: headers and times come in, headers and decisions go out. A Budget is a value; an
// Account belongs to the node that holds the request, which alone writes to it. The package must not choose
// a server or send anything: package decide decides on further attempts, and the account only reports
// whether the request can pay for them.
//
// docs/spec/budget-headers.md specifies the headers.
package budget
