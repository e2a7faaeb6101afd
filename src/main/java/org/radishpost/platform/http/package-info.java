/** The platform's services over HTTP and JSON. */
package org.radishpost.platform.http;
