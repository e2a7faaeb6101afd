package org.radishpost.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import org.radishpost.lib.Endpoint;

/** Sends requests with a given token to the administration API of one VM. */
final class AdminApiClient {
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final ObjectMapper mapper = new ObjectMapper();
  private final Endpoint admin;
  private final String token;

  AdminApiClient(Endpoint admin, String token) {
    this.admin = admin;
    this.token = token;
  }

  HttpResponse<String> get(String path) throws IOException, InterruptedException {
    return send("GET", path, "");
  }

  HttpResponse<String> send(String method, String path, String body)
      throws IOException, InterruptedException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://" + admin + path))
            .header("Authorization", "Bearer " + token)
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body))
            .build();
    return client.send(request, BodyHandlers.ofString());
  }

  JsonNode parseJson(HttpResponse<String> response) throws IOException {
    return mapper.readTree(response.body());
  }
}
