package messenger

import (
	"reflect"
	"sync"
)

// Clock is a hybrid logical clock.
type Clock interface {
	Now() int
	Observe(remote int)
}

// clockField locates the Clock field of a message type; most types have one.
type clockField struct {
	// index is the index of the field, or negative if the type has none.
	index int
}

// clockFields caches the clockField of each message type.
var clockFields sync.Map

// clockFieldOf returns the cached clockField of the type.
func clockFieldOf[T any]() clockField {
	typ := reflect.TypeFor[T]()
	if f, found := clockFields.Load(typ); found {
		return f.(clockField)
	}
	f := findClockField(typ)
	clockFields.Store(typ, f)
	return f
}

func findClockField(typ reflect.Type) clockField {
	if typ.Kind() != reflect.Struct {
		return clockField{index: -1}
	}
	field, found := typ.FieldByName("Clock")
	if !found || field.Type.Kind() != reflect.Int || len(field.Index) != 1 {
		return clockField{index: -1}
	}
	return clockField{index: field.Index[0]}
}

// stampClock sets the clock of an outgoing message unless it is already set.
func stampClock[T any](f clockField, clock Clock, message *T) {
	if f.index < 0 {
		return
	}
	value := reflect.ValueOf(message).Elem().Field(f.index)
	if value.Int() == 0 {
		value.SetInt(int64(clock.Now()))
	}
}

// observeClock merges the clock of a received message into the local one.
func observeClock[T any](f clockField, clock Clock, message *T) {
	if f.index < 0 {
		return
	}
	clock.Observe(int(reflect.ValueOf(message).Elem().Field(f.index).Int()))
}
