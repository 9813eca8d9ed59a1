// The demo must run from a clean clone and from a copied binary alike, so the examples are embedded in the binary.
//
// Example: deploy.Preset("kitakaze", "peak") returns the bytes of deploy/kitakaze/peak.toml.

package deploy

import "embed"

//go:embed concordia/*.toml kitakaze/*.toml
var examples embed.FS

// Preset returns the TOML of an example preset of a deployment.
func Preset(deployment, name string) ([]byte, error) {
	return examples.ReadFile(deployment + "/" + name + ".toml")
}
