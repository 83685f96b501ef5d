// Package evacuation decides what an evacuated data centre may still be used for: an operator has withdrawn its databases from service.
package evacuation
