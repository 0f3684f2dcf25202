// Package document parses a TOML file (v1.0.0) into values that record their line numbers,
// so that a finding can name the line it refers to.
//
// It is pure: text comes in, a tree of values and syntax errors go out. The caller owns the
// tree. The meaning of the keys is left to the packages that read the files.
package document
