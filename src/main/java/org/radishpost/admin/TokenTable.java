package org.radishpost.admin;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.radishpost.lib.Digest;
import org.radishpost.settings.NodeSettings.TokenSettings;

/** The digests and scopes of the valid tokens; immutable. */
final class TokenTable {
  private static final String SCHEME = "Bearer ";
  private static final int MAX_TOKEN_CHARS = 512;

  private final List<TokenSettings> tokens;

  TokenTable(List<TokenSettings> tokens) {
    this.tokens = List.copyOf(tokens);
  }

  /**
   * Returns the permissions of a token's holder, or empty if the token is not valid. The lookup
   * time does not depend on which token matches.
   *
   * @param authorization the value of the Authorization field, or an empty string if there is none
   */
  Optional<Permissions> find(String authorization) {
    if (!authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())
        || authorization.length() > SCHEME.length() + MAX_TOKEN_CHARS) {
      return Optional.empty();
    }
    Digest digest = Digest.of(authorization.substring(SCHEME.length()).trim());
    TokenSettings found = null;
    for (TokenSettings token : tokens) {
      boolean matches = token.digest().matches(digest);
      found = matches ? token : found;
    }
    return Optional.ofNullable(found)
        .map(token -> new Permissions(token.digest(), Set.copyOf(token.scopes())));
  }
}
