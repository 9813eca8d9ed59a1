package throttler

import "github.com/jackdawtide/jackdawtide/internal/identifier"

// Classes is the number of priority classes; class 0 is the most important.
const Classes = identifier.Classes

// Mix holds one amount, such as a load or a refused fraction, for each class.
type Mix [Classes]float64
