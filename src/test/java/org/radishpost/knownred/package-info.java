/** Tests that are known to fail for a real fault, kept out of the verdict. */
package org.radishpost.knownred;
