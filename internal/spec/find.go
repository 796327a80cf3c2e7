package spec

import (
	"slices"

	"gentiankeel/internal/wire"
)

// FindModel returns the model with the given name, or nil.
func FindModel(s *wire.Spec, name string) *wire.Model {
	i, found := slices.BinarySearchFunc(s.GetModels(), name, compareModelName)
	if !found {
		return nil
	}
	return s.Models[i]
}

// FindAdapter returns the model's adapter with the given name, or nil.
func FindAdapter(s *wire.Spec, model, name string) *wire.Adapter {
	i, found := slices.BinarySearchFunc(s.GetAdapters(), &wire.Adapter{Model: model, Name: name}, compareAdapters)
	if !found {
		return nil
	}
	return s.Adapters[i]
}

// FindService returns the service with the given name, or nil.
func FindService(s *wire.Spec, name string) *wire.Service {
	i, found := slices.BinarySearchFunc(s.GetServices(), name, compareServiceName)
	if !found {
		return nil
	}
	return s.Services[i]
}
