/**
 * Types that are used by all other packages: names, places, addresses, digests and JSON parsing.
 */
package org.radishpost.lib;
