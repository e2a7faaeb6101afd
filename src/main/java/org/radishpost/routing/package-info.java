/** Selection of the route and the pool of a request on the entry VM. */
package org.radishpost.routing;
