/** Requests that crash targets: how they are learned, shared and forgotten. */
package org.radishpost.suspects;
