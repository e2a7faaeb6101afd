/**
 * Value types that every other package uses: names, places, addresses, digests and random numbers.
 */
package org.radishpost.lib;
