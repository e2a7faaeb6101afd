/** One checked exception for each kind of failure, with a message that names the remedy. */
package org.radishpost.errors;
