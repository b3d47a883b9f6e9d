package org.cowslipyoke.http;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.vavr.control.Either;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowslipyoke.errors.ErrorKind;
import org.cowslipyoke.errors.Failure;
import org.cowslipyoke.platform.PlainService.Call;
import org.cowslipyoke.platform.PlainService.Reply;
import org.cowslipyoke.platform.VmList;
import org.cowslipyoke.standin.StandIn;
import org.cowslipyoke.standin.StandInKind;
import org.junit.jupiter.api.Test;

class SmallClientsTest extends HttpFixture {

  private static void admin(StandIn s, String path, String json) throws Exception {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + s.adminPort() + path))
            .POST(HttpRequest.BodyPublishers.ofString(json))
            .build();
    int status =
        HttpClient.newHttpClient().send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
    assertEquals(200, status, json);
  }

  /** Guards against an object that is overwritten, or changed by the wire. */
  @Test
  void objectIsWrittenOnce() {
    StandIn s = start(StandInKind.OBJECTS, "{}");
    HttpObjectStore objects = new HttpObjectStore(connector, s.baseUri(), TIMEOUT_MS);
    byte[] b = {0, 1, (byte) 0xff};
    assertTrue(objects.put("org a/é?&=%2F", b).get());
    assertFalse(objects.put("org a/é?&=%2F", new byte[0]).get());
    assertArrayEquals(b, objects.get("org a/é?&=%2F").get().orElseThrow());
    assertTrue(objects.get("absent").get().isEmpty());
    s.setFaults("{\"lostAnswers\": 1}");
    assertEquals(ErrorKind.STORE_UNAVAILABLE, objects.put("b", b).getLeft().kind());
    assertArrayEquals(b, objects.get("b").get().orElseThrow());
    s.setFaults("{\"oversizeAnswers\": 1}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, objects.get("b").getLeft().kind());
    refuse(s);
    assertEquals(ErrorKind.STORE_UNAVAILABLE, objects.get("b").getLeft().kind());
  }

  /** Guards against a change of a VM that is lost or arrives before its lag. */
  @Test
  void listOfVmsFollowsRegistrationsWithLag() throws Exception {
    StandIn s = start(StandInKind.VMS, "{\"lagMs\": 0}");
    HttpVmList vms = new HttpVmList(connector, s.baseUri(), TIMEOUT_MS);
    admin(
        s,
        "/admin/vms",
        "{\"vm\":\"s1\",\"port\":7,\"role\":\"server\",\"failureDomain\":\"d\",\"group\":\"g\"}");
    VmList.Vm vm = vms.find("s1").get().orElseThrow();
    assertEquals(
        new VmList.Vm("s1", "127.0.0.1", 7, VmList.Role.SERVER, "d", "g", VmList.State.LIVE), vm);
    s.setFaults("{\"staleMs\": 3600000}");
    admin(s, "/admin/vms", "{\"vm\":\"s1\",\"state\":\"leaving\"}");
    assertEquals(VmList.State.LIVE, vms.list().get().get(0).state());
    s.setFaults("{\"staleMs\": -1}");
    assertEquals(VmList.State.LEAVING, vms.list().get().get(0).state());
    admin(s, "/admin/vms", "{\"vm\":\"s1\",\"removed\":true}");
    assertTrue(vms.find("s1").get().isEmpty());
    s.setFaults("{\"malformedAnswers\": 1}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, vms.list().getLeft().kind());
    s.setFaults("{\"outage\": \"reset\"}");
    await(() -> vms.list().isLeft());
  }

  /** Guards against an answer that is valid JSON with a field of the wrong type or value. */
  @Test
  void vmWithUnknownRoleIsRefused() throws Exception {
    StandIn s = start(StandInKind.VMS, "{\"lagMs\": 0}");
    HttpVmList vms = new HttpVmList(connector, s.baseUri(), TIMEOUT_MS);
    admin(s, "/admin/vms", "{\"vm\":\"s1\",\"port\":7,\"role\":\"other\",\"failureDomain\":\"d\"}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, vms.list().getLeft().kind());
    admin(s, "/admin/vms", "{\"vm\":\"s1\",\"port\":\"x\",\"role\":\"server\"}");
    assertEquals(ErrorKind.PROTOCOL_ERROR, vms.list().getLeft().kind());
  }

  /** Guards against versions that are not offered. */
  @Test
  void weightStoreListsVersions() throws Exception {
    StandIn s = start(StandInKind.WEIGHTS, "{\"models\": {\"m\": [\"v1\"]}}");
    HttpWeightStore weights = new HttpWeightStore(connector, s.baseUri(), TIMEOUT_MS);
    admin(s, "/admin/weights", "{\"model\":\"m\",\"weightVersion\":\"v2\"}");
    assertEquals(List.of("v1", "v2"), weights.versions("m").get().versions());
    assertEquals(0, weights.versions("m").get().loading());
    HttpWeightStore quick = new HttpWeightStore(connector, s.baseUri(), 100);
    s.setFaults("{\"silent\": \"all\"}");
    assertEquals(ErrorKind.STORE_UNAVAILABLE, quick.versions("m").getLeft().kind());
  }

  private static Either<Failure, Reply> book(HttpPlainService service, String key, long ms) {
    List<String> headers =
        List.of("Idempotency-Key", key, "Content-Type", "application/json", "Connection", "x");
    byte[] body = "{\"stall\":4}".getBytes(StandardCharsets.UTF_8);
    return service.call(new Call("q1", "POST", "/bookings?day=1", headers, body), ms);
  }

  /** Guards against I7 and I8: a call that ran is reported as not run, or is sent twice. */
  @Test
  void plainServiceSaysWhetherTheCallMayHaveRun() {
    StandIn s = start(StandInKind.SERVICE, "{}");
    HttpPlainService service = new HttpPlainService(connector, s.baseUri(), TIMEOUT_MS);
    Reply r = book(service, "k1", TIMEOUT_MS).get();
    assertEquals(201, r.status());
    assertTrue(new String(r.body(), StandardCharsets.UTF_8).contains("\"id\":1"));
    s.setFaults("{\"lostAnswers\": 1}");
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, book(service, "k2", TIMEOUT_MS).getLeft().kind());
    s.setFaults("{\"oversizeAnswers\": 1}");
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, book(service, "k3", TIMEOUT_MS).getLeft().kind());
    s.setFaults("{\"delayMs\": 3000}");
    assertEquals(ErrorKind.OUTCOME_UNKNOWN, book(service, "k4", 100).getLeft().kind());
    s.setFaults("{\"delayMs\": 0}");
    refuse(s);
    assertEquals(ErrorKind.NO_SERVER, book(service, "k5", TIMEOUT_MS).getLeft().kind());
    JsonNode byKey = s.stats().path("byKey");
    for (String k : List.of("k1", "k2", "k3")) {
      assertEquals(1, byKey.path(k).asInt(), k);
    }
    assertFalse(byKey.has("k5"));
  }

  /** Guards against a path that leads to another host. */
  @Test
  void pathCannotChangeTheAddress() {
    HttpPlainService service =
        new HttpPlainService(connector, URI.create("http://127.0.0.1:1"), TIMEOUT_MS);
    for (String path : List.of("@127.0.0.1:2/x", "2/x", "/a b")) {
      Call c = new Call("q", "GET", path, List.of(), new byte[0]);
      assertEquals(ErrorKind.INVALID_REQUEST, service.call(c, 100).getLeft().kind(), path);
    }
  }
}
