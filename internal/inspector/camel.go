// The types of a dump carry no JSON tags, and a dump has hundreds of fields that change with the code. So their JSON names
// follow one rule, which is applied here: the field's name with its leading capitals in lower case.
//
// Example: struct{KeyHash string; IDRecords int} becomes {"keyHash":"…","idRecords":0}.

package inspector

import (
	"fmt"
	"reflect"
	"unicode"
)

// Camel returns v as values that encoding/json writes with names in camel case.
func Camel(v any) any {
	return camel(reflect.ValueOf(v))
}

func camel(v reflect.Value) any {
	switch v.Kind() {
	case reflect.Struct:
		return camelStruct(v)
	case reflect.Slice, reflect.Array:
		return camelList(v)
	case reflect.Map:
		return camelMap(v)
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return nil
		}
		return camel(v.Elem())
	case reflect.Invalid:
		return nil
	default:
		if s, ok := v.Interface().(fmt.Stringer); ok {
			return s.String()
		}
		return v.Interface()
	}
}

func camelStruct(v reflect.Value) any {
	t := v.Type()
	out := make(map[string]any, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		if f.Anonymous {
			mergeEmbedded(out, camel(v.Field(i)))
			continue
		}
		if f.IsExported() {
			out[camelName(f.Name)] = camel(v.Field(i))
		}
	}
	return out
}

func mergeEmbedded(out map[string]any, inner any) {
	m, ok := inner.(map[string]any)
	if !ok {
		return
	}
	for k, v := range m {
		out[k] = v
	}
}

func camelList(v reflect.Value) any {
	out := make([]any, v.Len())
	for i := range v.Len() {
		out[i] = camel(v.Index(i))
	}
	return out
}

func camelMap(v reflect.Value) any {
	out := make(map[string]any, v.Len())
	for _, k := range v.MapKeys() {
		out[fmt.Sprint(k.Interface())] = camel(v.MapIndex(k))
	}
	return out
}

// camelName converts the first letter to lower case, and all of a leading run of capitals except the capital that starts
// the next word.
func camelName(name string) string {
	r := []rune(name)
	for i := range r {
		nextIsLower := i+1 < len(r) && unicode.IsLower(r[i+1])
		if !unicode.IsUpper(r[i]) || (i > 0 && nextIsLower) {
			break
		}
		r[i] = unicode.ToLower(r[i])
	}
	return string(r)
}
