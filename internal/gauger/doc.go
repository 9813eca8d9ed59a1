// Package gauger decodes the load that a backend server reports about itself and fades its pace with age.
package gauger
