/**
 * The adapter to the users' platform: the only place that knows its names, paths and encodings.
 *
 * <p>Documents and headers are decoded here once, into the product's types.
 */
package org.radishpost.platform;
