package inspector

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jackdawtide/jackdawtide/internal/reducer"
)

// A renamed field would change the dump's JSON names, which are derived from the fields by reflection and which operators'
// tools read.
func TestNamesInDumpStayTheSame(t *testing.T) {
	names := slices.Concat(
		namesOf("dump", reflect.TypeFor[reducer.Dump]()),
		namesOf("decision", reflect.TypeFor[reducer.Decision]()),
	)
	stored, err := os.ReadFile("testdata/names.txt")
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(names, "\n")+"\n", string(stored))
}

// namesOf returns the paths of the exported fields of t, in the form that camelStruct gives them.
func namesOf(path string, t reflect.Type) []string {
	switch t.Kind() {
	case reflect.Struct:
		var names []string
		for i := range t.NumField() {
			f := t.Field(i)
			switch {
			case f.Anonymous:
				names = append(names, namesOf(path, f.Type)...)
			case f.IsExported():
				names = append(names, namesOf(path+"."+camelName(f.Name), f.Type)...)
			}
		}
		return names
	case reflect.Slice, reflect.Array, reflect.Pointer:
		return namesOf(path, t.Elem())
	case reflect.Map:
		return namesOf(path+".*", t.Elem())
	default:
		return []string{path}
	}
}
