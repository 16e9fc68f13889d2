Feature: TLS between processes
  Hosts verify each other's certificates; callers verify the certificate
  of the host.

  Scenario: hosts with certificates of the same authority can connect
    Given a host's peer port with TLS
    When a peer with a certificate of the same authority connects to the port
    Then the greeting over TLS is answered

  Scenario Outline: a peer without a valid certificate is rejected
    Given a host's peer port with TLS
    When a peer <with> connects to the port
    Then the greeting over TLS fails as "peer-unreachable"

    Examples:
      | with                                    |
      | without TLS                             |
      | without a certificate                   |
      | with a certificate of another authority |

  Scenario: a peer rejects a host whose certificate is of another authority
    Given a host's peer port with a TLS certificate of another authority
    When a peer with a certificate of the same authority connects to the port
    Then the greeting over TLS fails as "peer-unreachable"
