// Package suspect recognizes what requests that bring down their upstreams have in common.
package suspect

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
)

// Trait is the hex digest of something that runs have in common: that they are of the same
// request, or of requests with the same body, the same prompt part and so on. Its first byte is
// its specificity, so that traits can be compared wherever only digests are known.
type Trait string

// Specificities of traits. A trait that is also bound to a software version has one more.
const (
	specificityRecord = 0 // the element of the path that names a resource, or the head of the body, on any route
	specificityField  = 2 // one field, which unlike requests often share
	specificityPart   = 4 // a part of the prompt
	specificityPair   = 6 // two of path, query and body
	specificityWhole  = 8 // all of path, query and body
)

// headBytes is the length of a body's head.
const headBytes = 64

func newTrait(specificity byte, label string, fields ...[]byte) Trait {
	h := sha256.New()
	h.Write([]byte(label))
	for _, f := range fields {
		h.Write([]byte{0})
		h.Write(f)
	}
	sum := h.Sum(nil)
	sum[0] = specificity
	return Trait(hex.EncodeToString(sum))
}

// specificity returns how narrow the trait is: of two traits that explain the same losses, the
// one with the higher value affects fewer requests.
func (t Trait) specificity() byte {
	b := t[:min(len(t), 2)].Bytes()
	if len(b) == 0 {
		return 0
	}
	return b[0]
}

// Bytes returns the digest itself; nil if t is none.
func (t Trait) Bytes() []byte {
	b, err := hex.DecodeString(string(t))
	if err != nil {
		return nil
	}
	return b
}

// TraitOf returns the trait with a digest.
func TraitOf(digest []byte) Trait { return Trait(hex.EncodeToString(digest)) }

// isWhole reports whether the trait identifies a request as a whole.
func (t Trait) isWhole() bool { return t.specificity() >= specificityWhole }

// isContent reports whether the trait is a part of what requests carry, which few share: a part of the
// prompt, or what names a record.
func (t Trait) isContent() bool {
	s := t.specificity()
	return s < specificityField || s >= specificityPart && s < specificityPair
}

// OnSoftware returns the trait of the runs with trait t on upstreams of a software version.
func OnSoftware(t Trait, version string) Trait {
	return newTrait(t.specificity()+1, "software", []byte(t), []byte(version))
}

// Request holds what runs of a request have in common with those of others. Its traits are
// computed when they are needed first. It is not safe for concurrent use.
type Request struct {
	path, query, body []byte // digests; empty for an empty query or body
	element           string // last of the path
	head              []byte // first headBytes of the body; empty for a body that is no longer
	model             string // with the adapter; empty for a plain service
	parts             []string
	traits            []Trait
	onSoftware        map[string][]Trait // the same traits bound to a software version
}

// NewRequest returns a request by its target, body, model and the ids of the shared parts of its
// prompt. Method and host count as parts of the path.
func NewRequest(method, host, path, query string, body []byte, model string, parts []string) *Request {
	r := &Request{path: digest([]byte(method), []byte(host), []byte(path)), model: model, parts: parts}
	trimmed := strings.TrimRight(path, "/")
	r.element = trimmed[strings.LastIndexByte(trimmed, '/')+1:]
	if query != "" {
		r.query = digest([]byte(query))
	}
	if len(body) > 0 {
		r.body = digest(body)
	}
	if len(body) > headBytes {
		r.head = digest(body[:headBytes])
	}
	return r
}

// Whole returns the trait of the request as a whole.
func (r *Request) Whole() Trait { return r.Traits()[0] }

// Traits returns the request's traits: the request as a whole, each two of its path, query and
// body that are not empty, each of these, its model, each part of its prompt, the last element of its
// path and the head of its body. The last two are also found in requests of other routes.
func (r *Request) Traits() []Trait {
	if r.traits != nil {
		return r.traits
	}
	type field struct {
		label string
		value []byte
	}
	fields := slices.DeleteFunc([]field{{"path", r.path}, {"query", r.query}, {"body", r.body}}, func(f field) bool { return len(f.value) == 0 })
	r.traits = []Trait{newTrait(specificityWhole, "whole", r.path, r.query, r.body)}
	for i, f := range fields {
		if len(fields) > 1 {
			r.traits = append(r.traits, newTrait(specificityField, f.label, f.value))
		}
		for _, g := range fields[i+1:] {
			if len(fields) > 2 {
				r.traits = append(r.traits, newTrait(specificityPair, f.label+" "+g.label, f.value, g.value))
			}
		}
	}
	if r.model != "" {
		r.traits = append(r.traits, newTrait(specificityField, "model", []byte(r.model)))
	}
	for _, p := range r.parts {
		r.traits = append(r.traits, newTrait(specificityPart, "part", []byte(p)))
	}
	if r.element != "" {
		r.traits = append(r.traits, newTrait(specificityRecord, "element", []byte(r.element)))
	}
	if len(r.head) > 0 {
		r.traits = append(r.traits, newTrait(specificityRecord, "head", r.head))
	}
	return r.traits
}

// TraitsOn returns the traits of the request's runs on upstreams of a software version: its
// traits, and the same bound to that version.
func (r *Request) TraitsOn(software string) []Trait {
	if r.onSoftware[software] == nil {
		if r.onSoftware == nil {
			r.onSoftware = map[string][]Trait{}
		}
		r.onSoftware[software] = traitsOn(r.Traits(), software)
	}
	return r.onSoftware[software]
}

func traitsOn(traits []Trait, software string) []Trait {
	out := slices.Clone(traits)
	for _, t := range traits {
		out = append(out, OnSoftware(t, software))
	}
	return out
}

func digest(fields ...[]byte) []byte {
	h := sha256.New()
	for i, f := range fields {
		if i > 0 {
			h.Write([]byte{0})
		}
		h.Write(f)
	}
	return h.Sum(nil)
}

// Digest returns the hex SHA-256 of the parts that identify a request, separated by zero
// bytes.
func Digest(parts ...[]byte) string { return hex.EncodeToString(digest(parts...)) }
