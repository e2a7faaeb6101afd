/** Clients of the platform's services over HTTP and JSON. */
package org.radishpost.store.http;
