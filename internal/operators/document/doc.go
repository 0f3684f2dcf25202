// Package document reads a TOML file (v1.0.0) into values that know their lines,
// so that a finding about a value can say where it stands.
//
// It is pure: text comes in, a tree and faults go out. A tree is owned by who
// asked for it. It must not know what the keys mean: that is for the packages
// that read descriptions.
package document
