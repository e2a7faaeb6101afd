package org.radishpost.admin;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.TenantName;

/**
 * The permissions of the holder of a token; immutable.
 *
 * @param tokenDigest the digest of the token
 * @param scopes the scopes of the token, as in the settings
 */
record Permissions(Digest tokenDigest, Set<String> scopes) {
  private static final String READ = "read";
  private static final String OPERATE = "operate";
  private static final String PUBLISH_PREFIX = "publish:";
  private static final String READ_PREFIX = "read:";
  private static final int AUTHOR_DIGEST_CHARS = 12;

  Permissions {
    scopes = Set.copyOf(scopes);
  }

  /** Returns whether the holder may read the gateways of all tenants. */
  boolean canReadAll() {
    return scopes.contains(READ);
  }

  /** Returns whether the holder may take zones, regions and VMs out of service and back in. */
  boolean canOperate() {
    return scopes.contains(OPERATE);
  }

  /** Returns whether the holder may read the complete status, the metrics and the events. */
  boolean canReadSystem() {
    return canReadAll() || canOperate();
  }

  /** Returns whether the holder may read the tenant's gateways. */
  boolean canRead(TenantName tenant) {
    return canReadAll() || scopes.contains(READ_PREFIX + tenant) || canPublish(tenant);
  }

  /** Returns whether the holder may publish manifests for the tenant's gateways. */
  boolean canPublish(TenantName tenant) {
    return scopes.contains(PUBLISH_PREFIX + tenant);
  }

  /** Returns whether the holder may publish manifests for at least one tenant. */
  boolean canPublishAny() {
    return scopes.stream().anyMatch(scope -> scope.startsWith(PUBLISH_PREFIX));
  }

  /** Returns the first characters of the token's digest, which identify the holder in events. */
  String author() {
    return tokenDigest.hex().substring(0, AUTHOR_DIGEST_CHARS);
  }
}
