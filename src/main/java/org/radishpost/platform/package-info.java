/**
 * The adapter to the platform: the only package that knows the platform's names, paths and
 * encodings.
 *
 * <p>Documents and headers are decoded here into the types of the other packages.
 */
package org.radishpost.platform;
