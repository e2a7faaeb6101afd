/** Detection of requests that crash targets, shared between VMs. */
package org.radishpost.suspects;
