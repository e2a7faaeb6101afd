/** Checked exceptions, one for each kind of failure, whose messages include the remedy. */
package org.radishpost.errors;
