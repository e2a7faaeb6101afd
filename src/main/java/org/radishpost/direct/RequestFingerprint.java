package org.radishpost.direct;

import io.netty.handler.codec.http.HttpHeaders;
import org.radishpost.http.Call;
import org.radishpost.http.RequestHead;
import org.radishpost.lib.Digest;

/** Identifies repetitions of a request: the same method, host, path, credentials and body. */
final class RequestFingerprint {
  private RequestFingerprint() {}

  /**
   * Returns the digest of a request, whatever its ID and deadline. If the body is too large to be
   * kept, its first part and its declared length stand for it.
   */
  static Digest of(Call call) {
    RequestHead head = call.head();
    HttpHeaders fields = head.headers();
    String body =
        call.info()
            .fingerprint()
            .map(Digest::hex)
            .orElseGet(() -> call.info().bodyBytes() + " " + call.body().prefixDigest().hex());
    return Digest.of(
        String.join(
            "\n",
            head.method(),
            call.match().route().host(),
            head.target(),
            fields.get("authorization", ""),
            fields.get("cookie", ""),
            body));
  }
}
