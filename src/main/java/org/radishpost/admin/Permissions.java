package org.radishpost.admin;

import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.lib.TenantName;

/**
 * What the holder of one token may do; immutable.
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

  /** Tells whether everything may be read. */
  boolean canReadAll() {
    return scopes.contains(READ);
  }

  /** Tells whether zones, regions and VMs may be taken out and in. */
  boolean canOperate() {
    return scopes.contains(OPERATE);
  }

  /** Tells whether the state of the whole system may be read. */
  boolean canReadSystem() {
    return canReadAll() || canOperate();
  }

  /** Tells whether the tenant's gateways may be read. */
  boolean canRead(TenantName tenant) {
    return canReadAll() || scopes.contains(READ_PREFIX + tenant) || canPublish(tenant);
  }

  /** Tells whether the tenant's gateways may be changed. */
  boolean canPublish(TenantName tenant) {
    return scopes.contains(PUBLISH_PREFIX + tenant);
  }

  /** Tells whether any tenant's gateways may be changed. */
  boolean canPublishAny() {
    return scopes.stream().anyMatch(scope -> scope.startsWith(PUBLISH_PREFIX));
  }

  /** Returns the beginning of the token's digest, which names the holder in events. */
  String author() {
    return tokenDigest.hex().substring(0, AUTHOR_DIGEST_CHARS);
  }
}
