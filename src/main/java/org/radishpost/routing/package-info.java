/** The entry's side: which route a request takes and which pool serves it. */
package org.radishpost.routing;
