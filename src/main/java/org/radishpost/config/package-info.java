/** Replicated configuration: the records of its stream and the state built from them. */
package org.radishpost.config;
