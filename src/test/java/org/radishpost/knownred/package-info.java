/**
 * Support for known test failures, which are listed in KNOWN-RED.txt and do not fail the test run.
 */
package org.radishpost.knownred;
