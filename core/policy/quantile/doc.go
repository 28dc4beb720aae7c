// Package quantile estimates quantiles of a changing distribution in fixed
// memory, with a relative error of at most 5%.
package quantile
