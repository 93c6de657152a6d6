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

// clockField reads and sets the Clock field that most messages have.
type clockField struct {
	// index is negative for a type without the field.
	index int
}

// clockFields holds the clockField of each message type.
var clockFields sync.Map

func clockFieldOf[T any]() clockField {
	kind := reflect.TypeFor[T]()
	if f, found := clockFields.Load(kind); found {
		return f.(clockField)
	}
	f := findClock(kind)
	clockFields.Store(kind, f)
	return f
}

func findClock(kind reflect.Type) clockField {
	if kind.Kind() != reflect.Struct {
		return clockField{index: -1}
	}
	field, found := kind.FieldByName("Clock")
	if !found || field.Type.Kind() != reflect.Int || len(field.Index) != 1 {
		return clockField{index: -1}
	}
	return clockField{index: field.Index[0]}
}

// stamp sets the clock of a message to be sent unless its sender has done so.
func stamp[T any](f clockField, clock Clock, message *T) {
	if f.index < 0 {
		return
	}
	value := reflect.ValueOf(message).Elem().Field(f.index)
	if value.Int() == 0 {
		value.SetInt(int64(clock.Now()))
	}
}

// observe merges the clock of a received message.
func observe[T any](f clockField, clock Clock, message *T) {
	if f.index < 0 {
		return
	}
	clock.Observe(int(reflect.ValueOf(message).Elem().Field(f.index).Int()))
}
